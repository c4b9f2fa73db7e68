/** Read-only views of an entry's state, for operators. */
package org.gypsumflow.query;
