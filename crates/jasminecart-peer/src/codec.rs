//! The `postcard` codec of the peer service.

use std::marker::PhantomData;

use bytes::{Buf, BufMut};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tonic::Status;
use tonic::codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};

use crate::errors::{Error, Result};

/// A decoded message, or the decoding error. The codec has no access to the counters, so malformed input is
/// passed on as a value and counted by the service.
pub type Decoded<T> = Result<T>;

/// Encodes `T` and decodes `U` with `postcard`.
#[derive(Debug)]
pub struct PostcardCodec<T, U>(PhantomData<(T, U)>);

impl<T, U> Default for PostcardCodec<T, U> {
    fn default() -> Self {
        PostcardCodec(PhantomData)
    }
}

impl<T, U> Codec for PostcardCodec<T, Decoded<U>>
where
    T: Serialize + Send + 'static,
    U: DeserializeOwned + Send + 'static,
{
    type Encode = T;
    type Decode = Decoded<U>;
    type Encoder = PostcardEncoder<T>;
    type Decoder = PostcardDecoder<U>;

    fn encoder(&mut self) -> Self::Encoder {
        PostcardEncoder(PhantomData)
    }

    fn decoder(&mut self) -> Self::Decoder {
        PostcardDecoder(PhantomData)
    }
}

/// Encodes messages of type `T`.
#[derive(Debug)]
pub struct PostcardEncoder<T>(PhantomData<T>);

impl<T: Serialize> Encoder for PostcardEncoder<T> {
    type Item = T;
    type Error = Status;

    fn encode(&mut self, item: T, dst: &mut EncodeBuf<'_>) -> std::result::Result<(), Status> {
        let bytes = postcard::to_stdvec(&item)
            .map_err(|e| Status::internal(format!("the message cannot be encoded: {e}")))?;
        dst.reserve(bytes.len());
        dst.put_slice(&bytes);
        Ok(())
    }
}

/// Decodes messages of type `U`.
#[derive(Debug)]
pub struct PostcardDecoder<U>(PhantomData<U>);

impl<U: DeserializeOwned> Decoder for PostcardDecoder<U> {
    type Item = Decoded<U>;
    type Error = Status;

    fn decode(
        &mut self,
        src: &mut DecodeBuf<'_>,
    ) -> std::result::Result<Option<Decoded<U>>, Status> {
        let bytes = src.copy_to_bytes(src.remaining());
        Ok(Some(decode(&bytes)))
    }
}

fn decode<U: DeserializeOwned>(bytes: &[u8]) -> Decoded<U> {
    let (value, rest) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() { Ok(value) } else { Err(Error::TrailingBytes(rest.len())) }
}
