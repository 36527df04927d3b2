//! What a route matches: host, path, method, headers and query.

use std::cmp::Ordering;

/// The most segments a path pattern may have, and that are looked at in a request's path.
pub const MAX_SEGMENTS: usize = 64;
/// The most parameters of one path template.
pub const MAX_PARAMS: usize = 8;

/// Why a pattern can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PatternError {
    /// A host pattern that is no host name.
    #[error("{0:?} is no host: write a name such as api.example.org, *.example.org or *")]
    InvalidHost(String),
    /// A path that does not begin with a slash.
    #[error("{0:?} is no path: it must begin with '/'")]
    MissingLeadingSlash(String),
    /// A path with more segments than are looked at.
    #[error("{0:?} has more than {MAX_SEGMENTS} segments")]
    TooManySegments(String),
    /// A template with more parameters than are kept.
    #[error("{0:?} has more than {MAX_PARAMS} parameters")]
    TooManyParams(String),
    /// Braces that make no parameter.
    #[error("segment {0:?}: a parameter takes a whole segment, {{name}}, of letters, digits, '_' or '-'")]
    MisplacedBraces(String),
    /// One name for two parameters.
    #[error("parameter {0:?} stands twice in one path")]
    DuplicateParam(String),
    /// A query, a fragment or a dot segment, which no path that is matched has.
    #[error("{0:?} can't be matched: a path has no '?', no '#' and no '.' or '..' segment")]
    Unmatchable(String),
}

/// Which hosts a route is for; the port of a request's host is not looked at, nor upper case.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum HostPattern {
    /// All.
    #[default]
    Any,
    /// This one, in lower case.
    Exact(String),
    /// Those with one label or more before this domain, in lower case.
    Subdomains(String),
}

impl HostPattern {
    /// Reads `*`, `*.domain` or a host name.
    pub fn parse(text: &str) -> Result<HostPattern, PatternError> {
        let (under, name) = match text.strip_prefix("*.") {
            _ if text == "*" => return Ok(HostPattern::Any),
            Some(name) => (true, name),
            None => (false, text),
        };
        let bracketed = name.starts_with('[') && name.ends_with(']');
        let fits = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        let label = |l: &str| !l.is_empty() && l.len() <= 63;
        if name.len() > 253 || !(bracketed || name.split('.').all(label) && name.bytes().all(fits)) {
            return Err(PatternError::InvalidHost(text.into()));
        }
        let name = name.to_ascii_lowercase();
        Ok(if under { HostPattern::Subdomains(name) } else { HostPattern::Exact(name) })
    }

    /// Whether a host in lower case and without its port fits.
    pub fn matches(&self, host: &str) -> bool {
        match self {
            HostPattern::Any => true,
            HostPattern::Exact(name) => name == host,
            HostPattern::Subdomains(domain) => {
                host.strip_suffix(domain.as_str()).is_some_and(|rest| rest.len() > 1 && rest.ends_with('.'))
            }
        }
    }

    /// Larger is more specific.
    fn rank(&self) -> (u8, usize) {
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
    /// These characters, as they are sent.
    Literal(Box<str>),
    /// Any that are not empty, known by this name.
    Param(Box<str>),
}

/// Which paths a route is for. Paths are compared as they are sent: nothing is decoded, since an upstream may
/// decode otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PathPattern {
    /// Its segments.
    pub segments: Vec<Segment>,
    /// Further segments may follow.
    pub is_prefix: bool,
}

impl PathPattern {
    /// Reads `/orders`, `/orders/{id}/lines`; as a prefix, whole segments may follow.
    pub fn parse(text: &str, prefix: bool) -> Result<PathPattern, PatternError> {
        let rest = text.strip_prefix('/').ok_or_else(|| PatternError::MissingLeadingSlash(text.into()))?;
        if text.contains(['?', '#']) || has_dot_segment(text) {
            return Err(PatternError::Unmatchable(text.into()));
        }
        // A prefix is written with its last slash or without.
        let rest = if prefix { rest.strip_suffix('/').unwrap_or(rest) } else { rest };
        let mut segments: Vec<Segment> = Vec::new();
        let mut names: Vec<&str> = Vec::new();
        for part in rest.split('/').filter(|_| !rest.is_empty()) {
            if !part.contains(['{', '}']) {
                segments.push(Segment::Literal(part.into()));
                continue;
            }
            let name = part.strip_prefix('{').and_then(|p| p.strip_suffix('}')).unwrap_or("");
            let fits = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'-');
            if name.is_empty() || !name.bytes().all(fits) {
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

    /// The names of its parameters, in order.
    pub fn params(&self) -> impl Iterator<Item = &str> {
        self.segments.iter().filter_map(|s| match s {
            Segment::Param(name) => Some(&**name),
            Segment::Literal(_) => None,
        })
    }

    /// Whether a path fits; the plain form of what the table does.
    pub fn matches(&self, path: &str) -> bool {
        let Some(mut rest) = first_segment(path) else { return false };
        for segment in &self.segments {
            let Some(text) = rest else { return false };
            let (part, tail) = next_segment(text);
            match segment {
                Segment::Literal(l) if **l == *part => {}
                Segment::Param(_) if !part.is_empty() => {}
                _ => return false,
            }
            rest = tail;
        }
        self.is_prefix || rest.is_none()
    }

    /// More specific is greater: from left to right, a literal before a parameter before the end of a prefix,
    /// and a whole path before a prefix.
    pub fn compare_specificity(&self, other: &PathPattern) -> Ordering {
        let rank = |p: &PathPattern, at: usize| match p.segments.get(at) {
            Some(Segment::Literal(_)) => 3,
            Some(Segment::Param(_)) => 2,
            None if !p.is_prefix => 1,
            None => 0,
        };
        let most = self.segments.len().max(other.segments.len());
        (0..=most)
            .map(|at| rank(self, at).cmp(&rank(other, at)))
            .find(|o| o.is_ne())
            .unwrap_or(Ordering::Equal)
    }
}

/// Whether a path has a `.` or `..` segment, in whatever spelling: who resolves it finds another path.
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

/// What follows a path's first slash; `Some(None)`: nothing does.
pub(crate) fn first_segment(path: &str) -> Option<Option<&str>> {
    path.strip_prefix('/').map(|rest| Some(rest).filter(|r| !r.is_empty()))
}

/// The next segment, and what follows its slash.
pub(crate) fn next_segment(rest: &str) -> (&str, Option<&str>) {
    match rest.split_once('/') {
        Some((part, tail)) => (part, Some(tail)),
        None => (rest, None),
    }
}

/// What a header's or a query parameter's value must be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ValueTest {
    /// There.
    Present,
    /// Not there.
    Absent,
    /// Exactly this.
    Equals(String),
    /// This, and then anything.
    StartsWith(String),
}

impl ValueTest {
    /// Whether a value passes.
    pub fn passes(&self, value: Option<&str>) -> bool {
        match (self, value) {
            (ValueTest::Present, v) => v.is_some(),
            (ValueTest::Absent, v) => v.is_none(),
            (ValueTest::Equals(want), v) => v == Some(want.as_str()),
            (ValueTest::StartsWith(want), v) => v.is_some_and(|v| v.starts_with(want.as_str())),
        }
    }

    /// Whether no value passes both.
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

/// A test of a named field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldTest {
    /// The field; a header's in lower case.
    pub name: String,
    /// The test.
    pub test: ValueTest,
}

/// The headers of a request, by name without regard to case.
pub trait Headers {
    /// The value of the first header of this name.
    fn header(&self, name: &str) -> Option<&str>;
}

impl Headers for [(String, String)] {
    fn header(&self, name: &str) -> Option<&str> {
        self.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

/// What routing looks at in a request.
#[derive(Clone, Copy)]
pub struct RequestView<'a> {
    /// Its method.
    pub method: &'a str,
    /// Its host, as sent.
    pub host: &'a str,
    /// Its path, as sent, without the query.
    pub path: &'a str,
    /// Its query, as sent.
    pub query: &'a str,
    /// Its headers.
    pub headers: &'a dyn Headers,
}

impl RequestView<'_> {
    /// The first value of a query parameter, decoded.
    pub fn query_value(&self, name: &str) -> Option<std::borrow::Cow<'_, str>> {
        form_urlencoded::parse(self.query.as_bytes()).find(|(n, _)| n == name).map(|(_, v)| v)
    }
}

/// All that a route matches by.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Matcher {
    /// The hosts.
    pub host: HostPattern,
    /// The paths.
    pub path: PathPattern,
    /// The methods; empty: all.
    pub methods: Vec<String>,
    /// What the headers must be.
    pub headers: Vec<FieldTest>,
    /// What the query must be.
    pub query: Vec<FieldTest>,
}

impl Matcher {
    /// Whether method, headers and query fit.
    pub fn matches_fields(&self, s: &RequestView<'_>) -> bool {
        (self.methods.is_empty() || self.methods.iter().any(|m| m == s.method))
            && self.headers.iter().all(|t| t.test.passes(s.headers.header(&t.name)))
            && self.query.iter().all(|t| t.test.passes(s.query_value(&t.name).as_deref()))
    }

    /// How specific method, headers and query are; larger is more.
    pub fn field_specificity(&self) -> (bool, usize) {
        (!self.methods.is_empty(), self.headers.len() + self.query.len())
    }

    /// More specific is greater: host first, then path, then method, then the number of tests.
    pub fn compare_specificity(&self, other: &Matcher) -> Ordering {
        let host = self.host.rank().cmp(&other.host.rank());
        let path = || self.path.compare_specificity(&other.path);
        host.then_with(path).then_with(|| self.field_specificity().cmp(&other.field_specificity()))
    }

    /// Whether no request fits both by method, headers and query.
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
