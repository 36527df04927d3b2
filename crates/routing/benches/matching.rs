//! Measures the cost of a match with 10, 1,000 and 10,000 routes, as ratios to the first, and whether a match
//! allocates.
//!
//! `cargo bench -p garnettally-routing` prints the ratios and the count of allocations, and then measures the
//! times with criterion.

use criterion::{criterion_group, Criterion};
use garnettally_routing::pattern::*;
use garnettally_routing::table::RouteTable;
use std::hint::black_box;
use std::time::Instant;

struct OneHeader;
impl Headers for OneHeader {
    fn header(&self, name: &str) -> Option<&str> {
        name.eq_ignore_ascii_case("x-kind").then_some("a")
    }
}

/// Builds a table of services that have collections, items, a literal beside a parameter and a prefix; some
/// routes also test a header.
fn table(route_count: usize) -> RouteTable {
    let routes = (0..route_count).map(|i| {
        let (service, host) = (i / 5, format!("s{}.example.org", i / 50));
        let (path, prefix) = match i % 5 {
            0 => (format!("/v1/service-{service}/items"), false),
            1 => (format!("/v1/service-{service}/items/{{id}}"), false),
            2 => (format!("/v1/service-{service}/items/new"), false),
            3 => (format!("/v1/service-{service}/items/{{id}}/lines/{{line}}"), false),
            _ => (format!("/v1/service-{service}"), true),
        };
        let test = FieldTest { name: "x-kind".into(), test: ValueTest::Equals("a".into()) };
        let matcher = Matcher {
            host: HostPattern::parse(&host).unwrap(),
            path: PathPattern::parse(&path, prefix).unwrap(),
            headers: (i % 7 == 0).then_some(test).into_iter().collect(),
            ..Matcher::default()
        };
        (format!("r{i}"), matcher)
    });
    RouteTable::new(routes.collect()).unwrap_or_else(|c| panic!("{c:?}"))
}

/// Returns requests that are spread over all routes.
fn requests(route_count: usize) -> Vec<(String, String)> {
    (0..1_000)
        .map(|k| {
            let i = k * 7919 % route_count;
            let (service, host) = (i / 5, format!("s{}.example.org", i / 50));
            let path = match i % 5 {
                0 => format!("/v1/service-{service}/items"),
                1 => format!("/v1/service-{service}/items/{k}"),
                2 => format!("/v1/service-{service}/items/new"),
                3 => format!("/v1/service-{service}/items/{k}/lines/9"),
                _ => format!("/v1/service-{service}/other/thing"),
            };
            (host, path)
        })
        .collect()
}

fn count_matches(table: &RouteTable, requests: &[(String, String)]) -> usize {
    let find = |(host, path): &(String, String)| {
        let request = RequestView { method: "GET", host, path, query: "", headers: &OneHeader };
        table.find(&request).is_some()
    };
    requests.iter().filter(|r| find(r)).count()
}

const SIZES: [usize; 3] = [10, 1_000, 10_000];

fn print_ratios() {
    let cases: Vec<_> = SIZES.iter().map(|&n| (table(n), requests(n))).collect();
    // The sizes take turns, so that other load on the machine affects all of them alike; the median of each
    // counts.
    let mut times = [const { Vec::new() }; 3];
    for _ in 0..101 {
        for (i, (table, requests)) in cases.iter().enumerate() {
            let mut found = 0;
            let allocated = allocation_counter::measure(|| found = black_box(count_matches(table, requests)));
            assert_eq!(allocated.count_total, 0, "a match allocates");
            let start = Instant::now();
            black_box(count_matches(table, requests));
            let time = start.elapsed();
            assert_eq!(found, requests.len(), "a request found no route");
            times[i].push(time.as_nanos() as f64 / requests.len() as f64);
        }
    }
    for (i, n) in SIZES.iter().enumerate() {
        times[i].sort_by(f64::total_cmp);
        let (this, first) = (times[i][50], times[0][50]);
        println!(
            "{n} routes: {this:.0} ns a match, {:.2} of {} routes; no allocation",
            this / first,
            SIZES[0]
        );
    }
}

fn matching(c: &mut Criterion) {
    for n in SIZES {
        let (table, requests) = (table(n), requests(n));
        c.bench_function(&format!("1,000 matches among {n} routes"), |b| {
            b.iter(|| count_matches(&table, &requests))
        });
    }
}

criterion_group!(benches, matching);

fn main() {
    print_ratios();
    benches();
    Criterion::default().configure_from_args().final_summary();
}
