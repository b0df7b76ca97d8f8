/** TLS with certificates from files, which are reloaded when they change. */
@NullMarked
package org.sardinelift.runtime.tls;

import org.jspecify.annotations.NullMarked;
