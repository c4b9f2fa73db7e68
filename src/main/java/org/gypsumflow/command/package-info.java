/** Decisions that change state, as plain code without threads, encoding or transport. */
package org.gypsumflow.command;
