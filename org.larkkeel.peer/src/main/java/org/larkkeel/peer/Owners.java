/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import java.util.Set;
import java.util.function.Predicate;
import org.larkkeel.lib.HostName;
import org.larkkeel.peer.membership.NodeId;
import org.larkkeel.peer.ownership.Ownership;

/** The current owners of keys, as known to this node. Not safe for use by several threads. */
final class Owners {
  private final HostName self;
  private Ownership ownership;
  private int count = 1;

  Owners(NodeId self) {
    this.self = self.host();
    this.ownership = new Ownership(Set.of(this.self));
  }

  /** Returns the owner of a key, or this node if no node owns it. */
  HostName ownerOf(String key) {
    return ownership.ownerOf(key).orElse(self);
  }

  boolean isOwnedBySelf(String key) {
    return isOwner(self, key);
  }

  boolean isOwner(HostName host, String key) {
    return ownership.ownerOf(key).filter(host::equals).isPresent();
  }

  /** Returns the number of owners, at least one. */
  int count() {
    return count;
  }

  /**
   * Replaces the set of owners.
   *
   * @return a predicate that is true for keys whose owner changed
   */
  Predicate<String> replace(Set<HostName> owners) {
    Ownership before = ownership;
    Ownership after = new Ownership(owners);
    ownership = after;
    count = Math.max(1, owners.size());
    return key -> !before.ownerOf(key).equals(after.ownerOf(key));
  }
}
