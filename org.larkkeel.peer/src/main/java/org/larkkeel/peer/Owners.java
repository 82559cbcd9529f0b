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

/** Who owns what is leased, as this node sees it now. Not safe for use by several threads. */
final class Owners {
  private final HostName self;
  private Ownership ownership;
  private int count = 1;

  Owners(NodeId self) {
    this.self = self.host();
    this.ownership = new Ownership(Set.of(this.self));
  }

  /** The owner of a key; this node if there is no other. */
  HostName of(String key) {
    return ownership.ownerOf(key).orElse(self);
  }

  boolean isSelf(String key) {
    return isOwner(self, key);
  }

  boolean isOwner(HostName host, String key) {
    return ownership.ownerOf(key).filter(host::equals).isPresent();
  }

  /** The number of owners, at least one. */
  int count() {
    return count;
  }

  /**
   * Takes a new set of owners.
   *
   * @return tells of a key whether its owner changed
   */
  Predicate<String> change(Set<HostName> owners) {
    Ownership before = ownership;
    Ownership after = new Ownership(owners);
    ownership = after;
    count = Math.max(1, owners.size());
    return key -> !before.ownerOf(key).equals(after.ownerOf(key));
  }
}
