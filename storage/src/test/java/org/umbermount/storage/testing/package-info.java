/**
 * A replacement of the disk for the tests of all modules. What is not synced may be lost, in any combination; the seed
 * decides.
 */
package org.umbermount.storage.testing;
