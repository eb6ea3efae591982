/**
 * Tests of the token buckets, and of the limits while a granter or a proxy is cut off from the others.
 */
package org.umbermount.quota;
