//! Codecs for length-prefixed strings, byte strings and lists, with length limits when
//! reading.

use std::io::{Read, Seek, Write};

use binrw::{BinRead, BinResult, BinWrite, Endian, Error};

/// Longest string in bytes.
const MAX_TEXT_BYTES: u32 = 1 << 20;
/// Largest initial allocation, so that a wrong length prefix cannot cause a large one.
const MAX_INITIAL_CAPACITY: usize = 64 * 1024;

fn length_error(position: u64, length: u64, limit: u64) -> Error {
    Error::AssertFail {
        pos: position,
        message: format!("length {length} exceeds the limit {limit}"),
    }
}

fn read_exactly<R: Read + Seek>(reader: &mut R, length: usize) -> BinResult<Vec<u8>> {
    let mut bytes = Vec::with_capacity(length.min(MAX_INITIAL_CAPACITY));
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
    if length > MAX_TEXT_BYTES {
        return Err(length_error(position, length.into(), MAX_TEXT_BYTES.into()));
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
    if length as usize > crate::MAX_FRAME_BYTES {
        return Err(length_error(
            position,
            length.into(),
            crate::MAX_FRAME_BYTES as u64,
        ));
    }
    read_exactly(reader, length as usize)
}

#[allow(clippy::ptr_arg, reason = "binrw passes a reference to the field")]
#[binrw::writer(writer, endian)]
pub(crate) fn write_bytes(bytes: &Vec<u8>) -> BinResult<()> {
    write_prefixed(bytes, writer, endian)
}

fn write_prefixed<W: Write + Seek>(bytes: &[u8], writer: &mut W, endian: Endian) -> BinResult<()> {
    (bytes.len() as u32).write_options(writer, endian, ())?;
    writer.write_all(bytes)?;
    Ok(())
}

/// Reads a list with a two-byte count. The list grows as elements are read, so that a
/// wrong count allocates little.
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
        u16::try_from(list.len()).map_err(|_| length_error(0, list.len() as u64, u64::from(u16::MAX)))?;
    count.write_options(writer, endian, ())?;
    for element in list {
        element.write_options(writer, endian, ())?;
    }
    Ok(())
}
