//! Command line of jasminecart.

fn main() {}
