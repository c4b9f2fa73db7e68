/** Decides which requests an entry takes on while it has more than its processor can carry. */
package org.gypsumflow.command.admission;
