/** HTTP with Grizzly towards callers, operators and targets; encoding only, commands apart from queries. */
package org.gypsumflow.http;
