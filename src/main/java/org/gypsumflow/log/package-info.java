/** Interfaces of the platform's append-only and compacted logs, with typed streams on top. */
package org.gypsumflow.log;
