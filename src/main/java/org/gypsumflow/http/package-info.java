/**
 * HTTP server, client and resources, on Grizzly, for callers, operators and targets.
 *
 * <p>Contains only the encoding of requests and responses, no decisions; commands and queries are in separate classes.
 */
package org.gypsumflow.http;
