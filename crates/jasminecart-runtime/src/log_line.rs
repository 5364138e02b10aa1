//! The format of log lines.
//!
//! Every line is one JSON object with `time_ms` (since the Unix epoch), `level`, `module`, `text`
//! and the fields of its event. Lines about a decision have the field `event`, a stable name to
//! filter by.

use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};

/// Formats a record as one line of JSON, without a line break.
pub fn line(record: &log::Record<'_>) -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut fields = Fields(serde_json::Map::new());
    let time = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
    fields.0.insert("time_ms".into(), time.into());
    fields.0.insert("level".into(), record.level().as_str().to_lowercase().into());
    fields.0.insert("module".into(), record.target().into());
    fields.0.insert("text".into(), record.args().to_string().into());
    let _ = record.key_values().visit(&mut fields);
    serde_json::Value::Object(fields.0).to_string()
}

/// Collects the key-value pairs of a record. Numbers and booleans keep their types, other values
/// become text.
struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(flag)) => flag.into(),
            (None, None) => value.to_string().into(),
        };
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
