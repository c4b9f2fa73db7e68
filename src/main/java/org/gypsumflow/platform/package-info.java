/** The platform's log service behind a small interface, and the HTTP client that reaches it. */
package org.gypsumflow.platform;
