/** A small port to an append-only log service, with typed streams on top. */
package org.gypsumflow.log;
