/** Stand-ins for the platform's log and for targets; nothing else depends on them. */
package org.gypsumflow.standin;
