/** Decides which jobs of an entry with too much work run at an entry with less. */
package org.gypsumflow.command.balancing;
