//! Length-prefixed texts, byte strings and lists, bounded when read.

use std::io::{Read, Seek, Write};

use binrw::{BinRead, BinResult, BinWrite, Endian, Error};

/// Longest text in bytes.
const MAXIMUM_TEXT_BYTES: u32 = 1 << 20;
/// Bytes read at a time, so that a wrong length allocates little.
const CHUNK_BYTES: usize = 64 * 1024;

fn bad_length(position: u64, length: u64, limit: u64) -> Error {
    Error::AssertFail {
        pos: position,
        message: format!("length {length} is over the limit {limit}"),
    }
}

fn read_exactly<R: Read + Seek>(reader: &mut R, length: usize) -> BinResult<Vec<u8>> {
    let mut bytes = Vec::with_capacity(length.min(CHUNK_BYTES));
    let read = reader.take(length as u64).read_to_end(&mut bytes)?;
    if read < length {
        return Err(Error::Io(std::io::ErrorKind::UnexpectedEof.into()));
    }
    Ok(bytes)
}

#[binrw::parser(reader, endian)]
pub(crate) fn read_text() -> BinResult<String> {
    let position = reader.stream_position()?;
    let length = u32::read_options(reader, endian, ())?;
    if length > MAXIMUM_TEXT_BYTES {
        return Err(bad_length(position, length.into(), MAXIMUM_TEXT_BYTES.into()));
    }
    let bytes = read_exactly(reader, length as usize)?;
    String::from_utf8(bytes).map_err(|error| Error::Custom {
        pos: position,
        err: Box::new(error.utf8_error()),
    })
}

#[binrw::writer(writer, endian)]
pub(crate) fn write_text(text: &String) -> BinResult<()> {
    write_prefixed(text.as_bytes(), writer, endian)
}

#[binrw::parser(reader, endian)]
pub(crate) fn read_bytes() -> BinResult<Vec<u8>> {
    let position = reader.stream_position()?;
    let length = u32::read_options(reader, endian, ())?;
    if length as usize > crate::MAXIMUM_FRAME_BYTES {
        return Err(bad_length(
            position,
            length.into(),
            crate::MAXIMUM_FRAME_BYTES as u64,
        ));
    }
    read_exactly(reader, length as usize)
}

#[allow(clippy::ptr_arg, reason = "the codec passes the field as it is")]
#[binrw::writer(writer, endian)]
pub(crate) fn write_bytes(bytes: &Vec<u8>) -> BinResult<()> {
    write_prefixed(bytes, writer, endian)
}

fn write_prefixed<W: Write + Seek>(bytes: &[u8], writer: &mut W, endian: Endian) -> BinResult<()> {
    (bytes.len() as u32).write_options(writer, endian, ())?;
    writer.write_all(bytes)?;
    Ok(())
}

/// Reads a list with a two-byte count, growing as elements are really there.
#[binrw::parser(reader, endian)]
pub(crate) fn read_list<T>() -> BinResult<Vec<T>>
where
    T: for<'a> BinRead<Args<'a> = ()>,
{
    let count = u16::read_options(reader, endian, ())?;
    let mut list = Vec::new();
    for _ in 0..count {
        list.push(T::read_options(reader, endian, ())?);
    }
    Ok(list)
}

#[binrw::writer(writer, endian)]
pub(crate) fn write_list<T>(list: &Vec<T>) -> BinResult<()>
where
    T: for<'a> BinWrite<Args<'a> = ()>,
{
    let count =
        u16::try_from(list.len()).map_err(|_| bad_length(0, list.len() as u64, u64::from(u16::MAX)))?;
    count.write_options(writer, endian, ())?;
    for element in list {
        element.write_options(writer, endian, ())?;
    }
    Ok(())
}
