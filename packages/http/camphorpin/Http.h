#ifndef CAMPHORPIN_HTTP_H
#define CAMPHORPIN_HTTP_H

/// Exchanges with HTTP servers: backend servers, the platform's store and log,
/// and the admin addresses of nodes. A response counts as complete only if the
/// protocol allows it and its connection has not cut it short.
#include "camphorpin/src/Http/BlockingHttpClient.h"
#include "camphorpin/src/Http/HttpConnection.h"
#include "camphorpin/src/Http/HttpConnectionPool.h"

#endif
