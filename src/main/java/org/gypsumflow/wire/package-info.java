/** Connections between processes with Netty and protobuf; encoding only. */
package org.gypsumflow.wire;
