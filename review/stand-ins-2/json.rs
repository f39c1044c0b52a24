//! Reads the JSON of calls to the store.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(bytes).ok()?;
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        value(&chars, &mut at)
    }

    pub fn get(&self, key: &str) -> Option<&Self> {
        match self {
            Self::Object(fields) => fields.get(key),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Self::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(Self::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, key: &str) -> &[Self] {
        match self.get(key) {
            Some(Self::List(items)) => items,
            _ => &[],
        }
    }
}

fn skip_space(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip_space(chars, at);
    match chars.get(*at)? {
        '{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                skip_space(chars, at);
                match chars.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    ',' => *at += 1,
                    _ => {
                        let key = string(chars, at)?;
                        skip_space(chars, at);
                        *at += 1;
                        fields.insert(key, value(chars, at)?);
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(chars, at);
                match chars.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    ',' => *at += 1,
                    _ => items.push(value(chars, at)?),
                }
            }
        }
        '"' => string(chars, at).map(Json::Text),
        _ => {
            let start = *at;
            while chars.get(*at).is_some_and(|c| !",]}".contains(*c) && !c.is_whitespace()) {
                *at += 1;
            }
            let word: String = chars[start..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                _ => word.parse().ok().map(Json::Number),
            }
        }
    }
}

fn string(chars: &[char], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut text = String::new();
    loop {
        let c = *chars.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(text),
            '\\' => {
                let escaped = *chars.get(*at)?;
                *at += 1;
                match escaped {
                    'n' => text.push('\n'),
                    't' => text.push('\t'),
                    'r' => text.push('\r'),
                    'u' => {
                        let code: String = chars.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        text.push(char::from_u32(u32::from_str_radix(&code, 16).ok()?)?);
                    }
                    other => text.push(other),
                }
            }
            other => text.push(other),
        }
    }
}
