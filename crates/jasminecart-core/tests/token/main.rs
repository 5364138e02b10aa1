//! Tests of routing by a token and of sharing the view that it needs. Each test says which failure it guards
//! against.

mod admission_order;
mod cold_targets;
mod data_centre;
mod evacuation;
mod explain;
mod moved_routes;
mod overload;
mod refusing_targets;
mod restored_store;
mod routing;
mod second_copies;
mod service_selection;
mod sharing;
mod silent_targets;
mod slow_targets;
mod startup;
mod support;
