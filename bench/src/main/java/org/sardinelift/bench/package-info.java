/** Load generator and measuring tool. */
@NullMarked
package org.sardinelift.bench;

import org.jspecify.annotations.NullMarked;
