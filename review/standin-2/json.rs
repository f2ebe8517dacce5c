//! A small JSON reader and string escaper, enough for the messages of the platform's pages.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
}

impl Value {
    /// Parses a document; `None` if it isn't valid JSON in UTF-8.
    pub fn parse(bytes: &[u8]) -> Option<Value> {
        let text = std::str::from_utf8(bytes).ok()?;
        let mut reader = Reader {
            chars: text.chars().collect(),
            at: 0,
        };
        let value = reader.value()?;
        reader.skip_space();
        (reader.at == reader.chars.len()).then_some(value)
    }

    pub fn get(&self, key: &str) -> Option<&Value> {
        match self {
            Value::Table(table) => table.get(key),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Value::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            Some(Value::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }
}

struct Reader {
    chars: Vec<char>,
    at: usize,
}

impl Reader {
    fn skip_space(&mut self) {
        while self
            .chars
            .get(self.at)
            .is_some_and(|c| c.is_ascii_whitespace())
        {
            self.at += 1;
        }
    }

    fn take(&mut self, wanted: char) -> Option<()> {
        self.skip_space();
        (self.chars.get(self.at) == Some(&wanted)).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let end = self.at + word.len();
        let found: String = self.chars.get(self.at..end)?.iter().collect();
        (found == word).then(|| {
            self.at = end;
            value
        })
    }

    fn value(&mut self) -> Option<Value> {
        self.skip_space();
        match self.chars.get(self.at)? {
            'n' => self.word("null", Value::Null),
            't' => self.word("true", Value::Bool(true)),
            'f' => self.word("false", Value::Bool(false)),
            '"' => self.string().map(Value::Text),
            '[' => self.list(),
            '{' => self.table(),
            _ => self.numeral(),
        }
    }

    fn numeral(&mut self) -> Option<Value> {
        let start = self.at;
        while self
            .chars
            .get(self.at)
            .is_some_and(|c| c.is_ascii_digit() || "+-.eE".contains(*c))
        {
            self.at += 1;
        }
        let text: String = self.chars[start..self.at].iter().collect();
        text.parse().ok().map(Value::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take('"')?;
        let mut text = String::new();
        loop {
            let c = *self.chars.get(self.at)?;
            self.at += 1;
            match c {
                '"' => return Some(text),
                '\\' => {
                    let escaped = *self.chars.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        'n' => text.push('\n'),
                        't' => text.push('\t'),
                        'r' => text.push('\r'),
                        'u' => {
                            let hex: String =
                                self.chars.get(self.at..self.at + 4)?.iter().collect();
                            self.at += 4;
                            text.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.take('[')?;
        let mut items = Vec::new();
        if self.take(']').is_some() {
            return Some(Value::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(']').is_some() {
                return Some(Value::List(items));
            }
            self.take(',')?;
        }
    }

    fn table(&mut self) -> Option<Value> {
        self.take('{')?;
        let mut table = BTreeMap::new();
        if self.take('}').is_some() {
            return Some(Value::Table(table));
        }
        loop {
            self.skip_space();
            let key = self.string()?;
            self.take(':')?;
            let value = self.value()?;
            table.insert(key, value);
            if self.take('}').is_some() {
                return Some(Value::Table(table));
            }
            self.take(',')?;
        }
    }
}

/// Returns a JSON string literal.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}
