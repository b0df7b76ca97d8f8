/** HTTP routes of the callers' and the operators' ports. */
@NullMarked
package org.sardinelift.entry.http;

import org.jspecify.annotations.NullMarked;
