//! The client and server of `jasminecart.peer.v1.Peer`, structured like the output of the manual builder of
//! `tonic-build` 0.14 for one unary method `Deliver`. The module is maintained by hand so that the build
//! needs no generator. Compression and interceptors are omitted because nothing uses them.
#![allow(unreachable_pub)] // Generated service modules make every item public.

/// Client of the peer service.
pub mod peer_client {
    use tonic::codegen::http::uri::PathAndQuery;
    use tonic::codegen::*;

    use crate::codec::{Decoded, PostcardCodec};
    use crate::envelope::{Ack, Envelope};

    /// Calls the peer service of another entry VM.
    #[derive(Clone, Debug)]
    pub struct PeerClient<T> {
        inner: tonic::client::Grpc<T>,
    }

    impl<T> PeerClient<T>
    where
        T: tonic::client::GrpcService<tonic::body::Body>,
        T::Error: Into<StdError>,
        T::ResponseBody: Body<Data = Bytes> + Send + 'static,
        <T::ResponseBody as Body>::Error: Into<StdError> + Send,
    {
        /// Creates a client over a channel.
        pub fn new(inner: T) -> Self {
            Self { inner: tonic::client::Grpc::new(inner) }
        }

        /// Sets the maximum size of a decoded message in bytes.
        #[must_use]
        pub fn max_decoding_message_size(mut self, limit: usize) -> Self {
            self.inner = self.inner.max_decoding_message_size(limit);
            self
        }

        /// Sets the maximum size of an encoded message in bytes.
        #[must_use]
        pub fn max_encoding_message_size(mut self, limit: usize) -> Self {
            self.inner = self.inner.max_encoding_message_size(limit);
            self
        }

        /// Sends an envelope and waits for its acknowledgement.
        pub async fn deliver(
            &mut self,
            request: impl tonic::IntoRequest<Envelope>,
        ) -> std::result::Result<tonic::Response<Decoded<Ack>>, tonic::Status> {
            self.inner.ready().await.map_err(|e| {
                tonic::Status::unknown(format!("Service was not ready: {}", e.into()))
            })?;
            let codec: PostcardCodec<Envelope, Decoded<Ack>> = PostcardCodec::default();
            let path = PathAndQuery::from_static("/jasminecart.peer.v1.Peer/Deliver");
            let mut req = request.into_request();
            req.extensions_mut().insert(GrpcMethod::new("jasminecart.peer.v1.Peer", "Deliver"));
            self.inner.unary(req, path, codec).await
        }
    }
}

/// Server of the peer service.
pub mod peer_server {
    use tonic::codegen::*;

    use crate::codec::{Decoded, PostcardCodec};
    use crate::envelope::{Ack, Envelope};

    /// The methods of the service.
    #[async_trait]
    pub trait Peer: Send + Sync + 'static {
        /// Handles an envelope.
        async fn deliver(
            &self,
            request: tonic::Request<Decoded<Envelope>>,
        ) -> std::result::Result<tonic::Response<Ack>, tonic::Status>;
    }

    /// Serves the methods over HTTP/2.
    #[derive(Debug)]
    pub struct PeerServer<T> {
        inner: Arc<T>,
        max_decoding_message_size: Option<usize>,
        max_encoding_message_size: Option<usize>,
    }

    impl<T> PeerServer<T> {
        /// Creates a server from a shared implementation.
        pub fn from_arc(inner: Arc<T>) -> Self {
            Self { inner, max_decoding_message_size: None, max_encoding_message_size: None }
        }

        /// Sets the maximum size of a decoded message in bytes.
        #[must_use]
        pub fn max_decoding_message_size(mut self, limit: usize) -> Self {
            self.max_decoding_message_size = Some(limit);
            self
        }
    }

    impl<T, B> Service<http::Request<B>> for PeerServer<T>
    where
        T: Peer,
        B: Body + Send + 'static,
        B::Error: Into<StdError> + Send + 'static,
    {
        type Response = http::Response<tonic::body::Body>;
        type Error = std::convert::Infallible;
        type Future = BoxFuture<Self::Response, Self::Error>;

        fn poll_ready(
            &mut self,
            _cx: &mut Context<'_>,
        ) -> Poll<std::result::Result<(), Self::Error>> {
            Poll::Ready(Ok(()))
        }

        fn call(&mut self, req: http::Request<B>) -> Self::Future {
            match req.uri().path() {
                "/jasminecart.peer.v1.Peer/Deliver" => {
                    struct DeliverSvc<T: Peer>(Arc<T>);

                    impl<T: Peer> tonic::server::UnaryService<Decoded<Envelope>> for DeliverSvc<T> {
                        type Response = Ack;
                        type Future = BoxFuture<tonic::Response<Self::Response>, tonic::Status>;

                        fn call(
                            &mut self,
                            request: tonic::Request<Decoded<Envelope>>,
                        ) -> Self::Future {
                            let inner = Arc::clone(&self.0);
                            Box::pin(async move { <T as Peer>::deliver(&inner, request).await })
                        }
                    }

                    let max_decoding_message_size = self.max_decoding_message_size;
                    let max_encoding_message_size = self.max_encoding_message_size;
                    let inner = self.inner.clone();
                    Box::pin(async move {
                        let method = DeliverSvc(inner);
                        let codec: PostcardCodec<Ack, Decoded<Envelope>> = PostcardCodec::default();
                        let mut grpc = tonic::server::Grpc::new(codec)
                            .apply_max_message_size_config(
                                max_decoding_message_size,
                                max_encoding_message_size,
                            );
                        Ok(grpc.unary(method, req).await)
                    })
                }
                _ => Box::pin(async move {
                    let mut response = http::Response::new(tonic::body::Body::default());
                    let headers = response.headers_mut();
                    headers.insert(
                        tonic::Status::GRPC_STATUS,
                        (tonic::Code::Unimplemented as i32).into(),
                    );
                    headers.insert(http::header::CONTENT_TYPE, tonic::metadata::GRPC_CONTENT_TYPE);
                    Ok(response)
                }),
            }
        }
    }

    impl<T> Clone for PeerServer<T> {
        fn clone(&self) -> Self {
            Self {
                inner: self.inner.clone(),
                max_decoding_message_size: self.max_decoding_message_size,
                max_encoding_message_size: self.max_encoding_message_size,
            }
        }
    }

    impl<T> tonic::server::NamedService for PeerServer<T> {
        const NAME: &'static str = "jasminecart.peer.v1.Peer";
    }
}
