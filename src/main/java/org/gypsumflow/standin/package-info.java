/** In-memory stand-ins for the platform's log, store, workers and targets; no production code depends on them. */
package org.gypsumflow.standin;
