/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.standin.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.larkkeel.standin.EngineRole;
import org.larkkeel.standin.EngineSettings;
import org.larkkeel.standin.FencingMode;
import org.larkkeel.standin.internal.EngineMessages.Order;
import org.larkkeel.standin.internal.EngineMessages.OrderRequest;
import org.larkkeel.standin.internal.EngineMessages.OrdersInForce;

/**
 * The orders in force at one incarnation of an engine: its role, models and adapters.
 *
 * <p>Invariant: with {@link FencingMode#CHECK} the fencing number never decreases. Safe for use by
 * several threads.
 *
 * @since 0.1
 */
final class EngineOrders {
  private final FencingMode fencingMode;
  private final Map<String, String> versions = new TreeMap<>();
  private final TreeSet<String> adapters = new TreeSet<>();
  private EngineRole role;
  private long fencing;

  EngineOrders(EngineSettings settings) {
    fencingMode = settings.fencing();
    role = settings.role();
    settings.models().forEach(model -> versions.put(model, ""));
  }

  /** Checks an order and records its fencing number, before the order is executed. */
  synchronized void accept(OrderRequest request) {
    if (request.fencing() == null || request.order() == null || request.order().type() == null) {
      throw RefusedException.malformed("fencing, order or order.type is missing: send all three");
    }
    check(request.order());
    if (fencingMode == FencingMode.CHECK && request.fencing() < fencing) {
      throw new RefusedException(
          409, "stale_fencing", "fencing is " + request.fencing() + ", " + fencing + " was seen");
    }
    fencing = request.fencing();
  }

  /** Puts an accepted order in force, unless a higher fencing number was accepted since then. */
  synchronized void apply(OrderRequest request) {
    if (fencingMode == FencingMode.CHECK && request.fencing() < fencing) {
      throw new RefusedException(
          409, "stale_fencing", "a newer order came while this one was under way");
    }
    Order order = request.order();
    switch (order.type()) {
      case "load_model" ->
          versions.put(order.model(), order.version() == null ? "" : order.version());
      case "unload_model" -> versions.remove(order.model());
      case "load_adapter" -> adapters.add(order.adapter());
      default -> role = parseRole(order.role());
    }
  }

  synchronized OrdersInForce inForce() {
    List<String> models = new ArrayList<>();
    versions.forEach(
        (model, version) -> models.add(version.isEmpty() ? model : model + "@" + version));
    return new OrdersInForce(fencing, roleName(), models, List.copyOf(adapters));
  }

  synchronized List<String> models() {
    return List.copyOf(versions.keySet());
  }

  synchronized EngineRole role() {
    return role;
  }

  synchronized String roleName() {
    return role.name().toLowerCase(Locale.ROOT);
  }

  private static void check(Order order) {
    switch (order.type()) {
      case "load_model", "unload_model" -> requirePresent("order.model", order.model());
      case "load_adapter" -> requirePresent("order.adapter", order.adapter());
      case "set_role" -> parseRole(order.role());
      default ->
          throw RefusedException.malformed(
              "order.type is \""
                  + order.type()
                  + "\": use load_model, unload_model, load_adapter or set_role");
    }
  }

  private static void requirePresent(String field, String value) {
    if (value == null) {
      throw RefusedException.malformed(field + " is missing: send a name");
    }
  }

  private static EngineRole parseRole(String name) {
    for (EngineRole role : EngineRole.values()) {
      if (role.name().toLowerCase(Locale.ROOT).equals(name)) {
        return role;
      }
    }
    throw RefusedException.malformed("order.role is \"" + name + "\": use prefill or decode");
  }
}
