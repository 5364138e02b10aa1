//! Under construction; see docs/design.md, section 5.
