/** Configuration, targets and instances, read from the store and from peers. */
@NullMarked
package org.sardinelift.gateway.feed;

import org.jspecify.annotations.NullMarked;
