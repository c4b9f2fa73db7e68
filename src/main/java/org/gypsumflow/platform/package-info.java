/**
 * Adapter to the users' platform: translates its names, formats and requests to types of the model. Decides nothing.
 */
package org.gypsumflow.platform;
