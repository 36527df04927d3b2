//! What a route matches: host, path, method, headers and query.

use std::cmp::Ordering;

/// The largest number of segments of a path pattern, and the number of segments of a request's path that are
/// compared.
pub const MAX_SEGMENTS: usize = 64;
/// The largest number of parameters of one path template.
pub const MAX_PARAMS: usize = 8;

/// Why a pattern can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PatternError {
    /// The host pattern is not a host name.
    #[error("{0:?} is not a host: write a name such as api.example.org, *.example.org or *")]
    InvalidHost(String),
    /// The path does not begin with a slash.
    #[error("{0:?} is not a path: it must begin with '/'")]
    MissingLeadingSlash(String),
    /// The path has more segments than are compared.
    #[error("{0:?} has more than {MAX_SEGMENTS} segments")]
    TooManySegments(String),
    /// The template has more parameters than are stored.
    #[error("{0:?} has more than {MAX_PARAMS} parameters")]
    TooManyParams(String),
    /// The braces of a segment do not enclose a parameter name.
    #[error("segment {0:?}: a parameter takes a whole segment, {{name}}, of letters, digits, '_' or '-'")]
    MisplacedBraces(String),
    /// Two parameters have the same name.
    #[error("parameter {0:?} occurs twice in one path")]
    DuplicateParam(String),
    /// The path has a query, a fragment or a dot segment, and so can match no request.
    #[error("{0:?} can't be matched: a path has no '?', no '#' and no '.' or '..' segment")]
    Unmatchable(String),
}

/// The hosts that a route applies to. The port of a request's host is ignored, and so is upper case.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum HostPattern {
    /// Matches all hosts.
    #[default]
    Any,
    /// Matches this host name, in lower case.
    Exact(String),
    /// Matches hosts with at least one label before this domain, which is in lower case.
    Subdomains(String),
}

impl HostPattern {
    /// Parses `*`, `*.domain` or a host name.
    pub fn parse(text: &str) -> Result<HostPattern, PatternError> {
        let (is_subdomains, name) = match text.strip_prefix("*.") {
            _ if text == "*" => return Ok(HostPattern::Any),
            Some(name) => (true, name),
            None => (false, text),
        };
        let is_bracketed = name.starts_with('[') && name.ends_with(']');
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        let is_label = |l: &str| !l.is_empty() && l.len() <= 63;
        if name.len() > 253
            || !(is_bracketed || name.split('.').all(is_label) && name.bytes().all(is_allowed))
        {
            return Err(PatternError::InvalidHost(text.into()));
        }
        let name = name.to_ascii_lowercase();
        Ok(if is_subdomains { HostPattern::Subdomains(name) } else { HostPattern::Exact(name) })
    }

    /// Whether the pattern matches a host, which must be in lower case and without its port.
    pub fn matches(&self, host: &str) -> bool {
        match self {
            HostPattern::Any => true,
            HostPattern::Exact(name) => name == host,
            HostPattern::Subdomains(domain) => {
                host.strip_suffix(domain.as_str()).is_some_and(|rest| rest.len() > 1 && rest.ends_with('.'))
            }
        }
    }

    /// How specific the pattern is; a larger value is more specific.
    fn specificity(&self) -> (u8, usize) {
        match self {
            HostPattern::Any => (0, 0),
            HostPattern::Subdomains(domain) => (1, domain.len()),
            HostPattern::Exact(_) => (2, 0),
        }
    }
}

/// A part of a path between two slashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Segment {
    /// Matches exactly these characters, as they are sent.
    Literal(Box<str>),
    /// A parameter of this name; matches any segment that is not empty.
    Param(Box<str>),
}

/// The paths that a route applies to. Paths are compared as they are sent: nothing is decoded, since an
/// upstream may decode differently.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PathPattern {
    /// The segments of the path, in order.
    pub segments: Vec<Segment>,
    /// Whether further segments may follow.
    pub is_prefix: bool,
}

impl PathPattern {
    /// Parses a path such as `/orders` or `/orders/{id}/lines`. If `prefix` is set, further whole segments
    /// may follow.
    pub fn parse(text: &str, prefix: bool) -> Result<PathPattern, PatternError> {
        let rest = text.strip_prefix('/').ok_or_else(|| PatternError::MissingLeadingSlash(text.into()))?;
        if text.contains(['?', '#']) || has_dot_segment(text) {
            return Err(PatternError::Unmatchable(text.into()));
        }
        // A prefix may be written with or without a slash at the end.
        let rest = if prefix { rest.strip_suffix('/').unwrap_or(rest) } else { rest };
        let mut segments: Vec<Segment> = Vec::new();
        let mut names: Vec<&str> = Vec::new();
        for part in rest.split('/').filter(|_| !rest.is_empty()) {
            if !part.contains(['{', '}']) {
                segments.push(Segment::Literal(part.into()));
                continue;
            }
            let name = part.strip_prefix('{').and_then(|p| p.strip_suffix('}')).unwrap_or("");
            let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'-');
            if name.is_empty() || !name.bytes().all(is_allowed) {
                return Err(PatternError::MisplacedBraces(part.into()));
            }
            if names.contains(&name) {
                return Err(PatternError::DuplicateParam(name.into()));
            }
            names.push(name);
            segments.push(Segment::Param(name.into()));
        }
        if segments.len() > MAX_SEGMENTS {
            return Err(PatternError::TooManySegments(text.into()));
        }
        if names.len() > MAX_PARAMS {
            return Err(PatternError::TooManyParams(text.into()));
        }
        Ok(PathPattern { segments, is_prefix: prefix })
    }

    /// The names of the path's parameters, in order.
    pub fn params(&self) -> impl Iterator<Item = &str> {
        self.segments.iter().filter_map(|s| match s {
            Segment::Param(name) => Some(&**name),
            Segment::Literal(_) => None,
        })
    }

    /// Whether the pattern matches a path. This is the simple equivalent of the look-up in a route table.
    pub fn matches(&self, path: &str) -> bool {
        let Some(mut rest) = first_segment(path) else { return false };
        for segment in &self.segments {
            let Some(text) = rest else { return false };
            let (part, tail) = next_segment(text);
            match segment {
                Segment::Literal(literal) if **literal == *part => {}
                Segment::Param(_) if !part.is_empty() => {}
                _ => return false,
            }
            rest = tail;
        }
        self.is_prefix || rest.is_none()
    }

    /// Compares two patterns; the more specific one is greater. Segments are compared from left to right: a
    /// literal is more specific than a parameter, a parameter more than the end of a path, and the end of a
    /// path more than the end of a prefix.
    pub fn compare_specificity(&self, other: &PathPattern) -> Ordering {
        let rank = |p: &PathPattern, index: usize| match p.segments.get(index) {
            Some(Segment::Literal(_)) => 3,
            Some(Segment::Param(_)) => 2,
            None if !p.is_prefix => 1,
            None => 0,
        };
        let longest = self.segments.len().max(other.segments.len());
        (0..=longest)
            .map(|index| rank(self, index).cmp(&rank(other, index)))
            .find(|o| o.is_ne())
            .unwrap_or(Ordering::Equal)
    }
}

/// Whether a path has a `.` or `..` segment, percent-encoded or not: a server that resolves it gets a
/// different path.
pub fn has_dot_segment(path: &str) -> bool {
    path.split('/').any(|segment| {
        let mut rest = segment;
        let mut dots = 0;
        while !rest.is_empty() {
            let tail = rest
                .strip_prefix('.')
                .or_else(|| rest.strip_prefix("%2e"))
                .or_else(|| rest.strip_prefix("%2E"));
            let Some(tail) = tail else { return false };
            (rest, dots) = (tail, dots + 1);
        }
        dots == 1 || dots == 2
    })
}

/// Returns what follows a path's first slash; `Some(None)` if nothing does, `None` if there is no such slash.
pub(crate) fn first_segment(path: &str) -> Option<Option<&str>> {
    path.strip_prefix('/').map(|rest| Some(rest).filter(|r| !r.is_empty()))
}

/// Splits off the next segment, and returns it with what follows its slash, if any.
pub(crate) fn next_segment(rest: &str) -> (&str, Option<&str>) {
    match rest.split_once('/') {
        Some((part, tail)) => (part, Some(tail)),
        None => (rest, None),
    }
}

/// What the value of a header or query parameter must be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ValueTest {
    /// The field is present, with any value.
    Present,
    /// The field is absent.
    Absent,
    /// The value equals this text.
    Equals(String),
    /// The value begins with this text.
    StartsWith(String),
}

impl ValueTest {
    /// Whether a value passes the test; `None` stands for an absent field.
    pub fn passes(&self, value: Option<&str>) -> bool {
        match (self, value) {
            (ValueTest::Present, v) => v.is_some(),
            (ValueTest::Absent, v) => v.is_none(),
            (ValueTest::Equals(expected), v) => v == Some(expected.as_str()),
            (ValueTest::StartsWith(expected), v) => v.is_some_and(|v| v.starts_with(expected.as_str())),
        }
    }

    /// Whether no value passes both tests.
    fn excludes(&self, other: &ValueTest) -> bool {
        match (self, other) {
            (ValueTest::Absent, ValueTest::Absent) => false,
            (ValueTest::Absent, _) | (_, ValueTest::Absent) => true,
            (ValueTest::Equals(a), ValueTest::Equals(b)) => a != b,
            (ValueTest::Equals(a), ValueTest::StartsWith(b))
            | (ValueTest::StartsWith(b), ValueTest::Equals(a)) => !a.starts_with(b.as_str()),
            (ValueTest::StartsWith(a), ValueTest::StartsWith(b)) => {
                !a.starts_with(b.as_str()) && !b.starts_with(a.as_str())
            }
            _ => false,
        }
    }
}

/// A test of a header or query parameter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldTest {
    /// The name of the field; header names are in lower case.
    pub name: String,
    /// The test that the value of the field must pass.
    pub test: ValueTest,
}

/// Access to the headers of a request; names are compared without regard to case.
pub trait Headers {
    /// The value of the first header of this name.
    fn header(&self, name: &str) -> Option<&str>;
}

impl Headers for [(String, String)] {
    fn header(&self, name: &str) -> Option<&str> {
        self.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

/// The parts of a request that routing uses.
#[derive(Clone, Copy)]
pub struct RequestView<'a> {
    /// The method, as sent.
    pub method: &'a str,
    /// The host, as sent.
    pub host: &'a str,
    /// The path, as sent, without the query.
    pub path: &'a str,
    /// The query, as sent, without the question mark.
    pub query: &'a str,
    /// The headers.
    pub headers: &'a dyn Headers,
}

impl RequestView<'_> {
    /// The first value of a query parameter, decoded.
    pub fn query_value(&self, name: &str) -> Option<std::borrow::Cow<'_, str>> {
        form_urlencoded::parse(self.query.as_bytes()).find(|(n, _)| n == name).map(|(_, v)| v)
    }
}

/// Everything that a request must match to get to a route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Matcher {
    /// The hosts that match.
    pub host: HostPattern,
    /// The paths that match.
    pub path: PathPattern,
    /// The methods that match; empty means all.
    pub methods: Vec<String>,
    /// The tests that the headers must pass.
    pub headers: Vec<FieldTest>,
    /// The tests that the query parameters must pass.
    pub query: Vec<FieldTest>,
}

impl Matcher {
    /// Whether the method, headers and query of a request match.
    pub fn matches_fields(&self, request: &RequestView<'_>) -> bool {
        (self.methods.is_empty() || self.methods.iter().any(|m| m == request.method))
            && self.headers.iter().all(|t| t.test.passes(request.headers.header(&t.name)))
            && self.query.iter().all(|t| t.test.passes(request.query_value(&t.name).as_deref()))
    }

    /// How specific the conditions on method, headers and query are; a larger value is more specific.
    pub fn field_specificity(&self) -> (bool, usize) {
        (!self.methods.is_empty(), self.headers.len() + self.query.len())
    }

    /// Compares two matchers; the more specific one is greater. The host counts first, then the path, then
    /// whether there are methods, then the number of tests.
    pub fn compare_specificity(&self, other: &Matcher) -> Ordering {
        let host = self.host.specificity().cmp(&other.host.specificity());
        let path = || self.path.compare_specificity(&other.path);
        host.then_with(path).then_with(|| self.field_specificity().cmp(&other.field_specificity()))
    }

    /// Whether no request can match both by method, headers and query.
    pub fn excludes(&self, other: &Matcher) -> bool {
        let methods = !self.methods.is_empty()
            && !other.methods.is_empty()
            && !self.methods.iter().any(|m| other.methods.contains(m));
        let fields = |a: &[FieldTest], b: &[FieldTest]| {
            a.iter().any(|x| b.iter().any(|y| x.name == y.name && x.test.excludes(&y.test)))
        };
        methods || fields(&self.headers, &other.headers) || fields(&self.query, &other.query)
    }
}
