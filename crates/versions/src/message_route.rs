//! The route in force to which an accepted message belongs.
use crate::prelude::*;

/// The route to which a message belongs now; `None` if the configuration has dropped
/// it. See `CompiledRoutes::route_of`.
pub fn message_route<'a>(routes: &'a CompiledRoutes, header: &MessageHeader) -> Option<&'a CompiledRoute> {
    let request = header.caller_request.as_deref();
    routes.route_of(&RoutedMessage {
        pattern: &header.route_pattern,
        route_name: &header.route,
        scoped_key: &header.key,
        host: request.map_or("", |request| &request.host),
        path: request.map_or("", CallerRequest::path_without_query),
    })
}
