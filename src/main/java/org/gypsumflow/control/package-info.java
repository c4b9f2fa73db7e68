/**
 * Control state of the daemons: membership, connections, configuration and plans.
 *
 * <p>One control thread owns this state in each process. Other threads read the immutable snapshots that it publishes.
 */
package org.gypsumflow.control;
