//! Documents as named on the command line.

use crate::error::CommandError;
use courseshunt_operator::{AdminError, RenderError, RenderedBatch, read_documents};
use courseshunt_settings::locate::field_of_named;
use courseshunt_types::Digest;
use std::path::{Path, PathBuf};

/// Rendered documents with the texts that they came from.
pub struct DocumentFiles {
    /// All documents.
    pub batch: RenderedBatch,
    texts: Vec<(PathBuf, String)>,
}

impl DocumentFiles {
    /// Reads the files; `-` is standard input.
    ///
    /// # Errors
    /// With file and line.
    pub fn read(files: &[String]) -> Result<Self, CommandError> {
        if files.is_empty() {
            return Err(CommandError::usage("no file with documents"));
        }
        let mut batch = RenderedBatch::default();
        let mut texts = Vec::new();
        for file in files {
            let (path, text) = (PathBuf::from(file), read(file)?);
            batch.extend(read_documents(&path, &text)?);
            texts.push((path, text));
        }
        Ok(Self { batch, texts })
    }

    /// Digest of all texts.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let texts = self.texts.iter().map(|(_, text)| text.as_str());
        Digest::of(texts.collect::<String>().as_bytes())
    }

    /// Adds file and line to a refusal that names a document of these files.
    #[must_use]
    pub fn locate(&self, error: AdminError) -> CommandError {
        match self.place(&error) {
            Some(place) => place.into(),
            None => error.into(),
        }
    }

    fn place(&self, error: &AdminError) -> Option<RenderError> {
        let AdminError::Refused {
            message,
            document: Some(document),
            field,
            ..
        } = error
        else {
            return None;
        };
        let mut texts = self.texts.iter();
        let (path, text) = texts.find(|(_, text)| names(text, &document.name))?;
        let field = field.as_deref().unwrap_or("name");
        Some(RenderError::Document {
            path: Path::new(path).to_owned(),
            line: field_of_named(text, &document.name, field).line,
            problem: message.clone(),
        })
    }
}

/// Whether a document of the text has this name.
fn names(text: &str, name: &str) -> bool {
    let quoted = format!("\"{name}\"");
    let mut lines = text.lines();
    lines.any(|line| line.trim_start().starts_with("name") && line.contains(&quoted))
}

fn read(file: &str) -> Result<String, CommandError> {
    if file == "-" {
        return Ok(std::io::read_to_string(std::io::stdin())?);
    }
    std::fs::read_to_string(file)
        .map_err(|error| CommandError::usage(format!("{file}: can't be read: {error}")))
}
