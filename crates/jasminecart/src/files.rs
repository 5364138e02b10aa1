//! Reads text files and documents.

use std::path::Path;

use jasminecart_core::version::{Document, DocumentErrors, Revision};

use crate::errors::{Error, Result};

/// Reads a file as UTF-8 text.
pub(crate) fn read(path: &Path) -> Result<String> {
    let bytes =
        std::fs::read(path).map_err(|source| Error::Read { path: path.to_owned(), source })?;
    String::from_utf8(bytes).map_err(|error| Error::NotText {
        path: path.to_owned(),
        position: error.utf8_error().valid_up_to(),
    })
}

/// Reads and validates a document. Its revision is 0, because the platform assigns revisions at publication.
pub(crate) fn read_document(path: &Path) -> Result<std::result::Result<Document, DocumentErrors>> {
    Ok(Document::parse(Revision(0), &read(path)?))
}
