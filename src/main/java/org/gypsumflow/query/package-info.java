/** Views of what an entry knows; nothing here changes anything. */
package org.gypsumflow.query;
