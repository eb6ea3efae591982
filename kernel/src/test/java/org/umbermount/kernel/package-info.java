/**
 * Tests of the plug-in host, the settings and the codec, and {@link org.umbermount.kernel.Mutation}, by which tests of
 * all modules leave one safeguard out to show that their checks notice.
 */
package org.umbermount.kernel;
