/**
 * Tests of the commands and their exit codes, and of both programs together in one process.
 */
package org.umbermount.app;
