/** Fixed simulated days that CI plays, with evidence that each check notices what it is there for. */
package org.umbermount.simulation;
