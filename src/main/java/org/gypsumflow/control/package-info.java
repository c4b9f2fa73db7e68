/** The state that one thread owns in each daemon, and the immutable snapshots that it publishes. */
package org.gypsumflow.control;
