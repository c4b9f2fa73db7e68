/** Connections between processes with Netty, and protobuf codecs for messages and records; no decisions. */
package org.gypsumflow.wire;
