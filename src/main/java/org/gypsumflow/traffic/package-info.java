/** What traffic threads run: claims, jobs in flight, slots, starts and answers. */
package org.gypsumflow.traffic;
