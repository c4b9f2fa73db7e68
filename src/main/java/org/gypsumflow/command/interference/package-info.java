/** Notices which kinds of tasks slow each other down on one worker. Decisions only: no network, no threads. */
package org.gypsumflow.command.interference;
