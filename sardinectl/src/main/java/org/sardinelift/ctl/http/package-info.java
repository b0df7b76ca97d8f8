/** Calls to the platform and to entries. */
@NullMarked
package org.sardinelift.ctl.http;

import org.jspecify.annotations.NullMarked;
