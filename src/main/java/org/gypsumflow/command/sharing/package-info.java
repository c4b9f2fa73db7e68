/**
 * Shares the capacity of a service among routes and zones of callers while it is short. {@link
 * org.gypsumflow.command.sharing.CapacityShares} is what the rest of the program uses.
 */
package org.gypsumflow.command.sharing;
