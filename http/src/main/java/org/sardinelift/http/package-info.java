/** Bounded HTTP/1.1 server and client on the Netty codec (RFC 9110, RFC 9112). */
@NullMarked
package org.sardinelift.http;

import org.jspecify.annotations.NullMarked;
