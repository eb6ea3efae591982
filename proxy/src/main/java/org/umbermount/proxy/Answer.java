package org.umbermount.proxy;

import io.netty.handler.codec.http.HttpHeaders;

/** A server's answer held whole. */
record Answer(int status, HttpHeaders headers, byte[] body) {}
