/** Settings, threads, start and shutdown of the daemon. */
package org.gypsumflow.daemon;
