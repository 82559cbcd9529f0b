/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.UpstreamName;

/**
 * The observations of callers, engines, services, operators and the platform. The internal state of
 * the nodes is not part of them.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Observations {
  private final Map<RequestId, CallerRecord> callers = new LinkedHashMap<>();
  private final List<HeldMemory> heldMemory = new ArrayList<>();
  private final List<Work> work = new ArrayList<>();
  private final List<Execution> executions = new ArrayList<>();
  private final List<Accepted> accepted = new ArrayList<>();
  private final List<InForce> inForce = new ArrayList<>();
  private final List<OrderTaken> orders = new ArrayList<>();
  private final List<NodeIncarnation> incarnations = new ArrayList<>();

  /** One incarnation of a node. */
  public static final class NodeIncarnation {
    private final int number;
    private final long startedAt;
    long stopAt = Long.MAX_VALUE;
    long endedAt = Long.MAX_VALUE;

    NodeIncarnation(int number, long startedAt) {
      this.number = number;
      this.startedAt = startedAt;
    }

    /**
     * Returns the number of the incarnation, counted over all nodes.
     *
     * @return a number from 0
     */
    public int number() {
      return number;
    }

    /**
     * Returns the time of the start.
     *
     * @return nanoseconds
     */
    public long startedAt() {
      return startedAt;
    }

    /**
     * Returns the time at which a planned stop was requested.
     *
     * @return nanoseconds, {@link Long#MAX_VALUE} if never
     */
    public long stopAt() {
      return stopAt;
    }

    /**
     * Returns whether the process is running.
     *
     * @return true if so
     */
    public boolean isRunning() {
      return endedAt == Long.MAX_VALUE;
    }
  }

  /** Engine memory that was held for an attempt of a request. */
  public static final class HeldMemory {
    final UpstreamName upstream;
    final RequestId request;
    final long from;
    long until = Long.MAX_VALUE;

    HeldMemory(UpstreamName upstream, RequestId request, long from) {
      this.upstream = upstream;
      this.request = request;
      this.from = from;
    }

    /**
     * Returns the engine.
     *
     * @return the name of the engine
     */
    public UpstreamName upstream() {
      return upstream;
    }

    /**
     * Returns the request.
     *
     * @return the id of the request
     */
    public RequestId request() {
      return request;
    }

    /**
     * Returns the time at which the memory was allocated.
     *
     * @return nanoseconds
     */
    public long from() {
      return from;
    }

    /**
     * Returns the time at which the memory was freed.
     *
     * @return nanoseconds, {@link Long#MAX_VALUE} if it is still held
     */
    public long until() {
      return until;
    }
  }

  /**
   * New work that an upstream accepted.
   *
   * @param upstream the upstream
   * @param request the request
   * @param at the time in nanoseconds
   */
  public record Work(UpstreamName upstream, RequestId request, long at) {}

  /**
   * A plain call that a service executed.
   *
   * @param identity the identity of the work: the idempotency key, or the request if it has none
   * @param request the request
   * @param repeatable true if the call may run more than once
   */
  public record Execution(String identity, RequestId request, boolean repeatable) {}

  /**
   * A configuration that the platform holds durably.
   *
   * @param revision the revision of the configuration
   * @param leaving the upstream that it marks as leaving, empty if none
   * @param at the time in nanoseconds
   */
  public record Accepted(Revision revision, Optional<UpstreamName> leaving, long at) {}

  /**
   * A configuration that came into force at a node, as its status page shows it.
   *
   * @param node the number of the node incarnation
   * @param host the host of the node
   * @param revision the revision
   * @param at the time in nanoseconds
   */
  public record InForce(int node, HostName host, Revision revision, long at) {}

  /**
   * An order that an engine executed.
   *
   * @param upstream the engine
   * @param fence the fencing number of the order
   * @param at the time in nanoseconds
   */
  public record OrderTaken(UpstreamName upstream, long fence, long at) {}

  void addIncarnation(NodeIncarnation incarnation) {
    incarnations.add(incarnation);
  }

  NodeIncarnation incarnation(int number) {
    return incarnations.get(number);
  }

  /**
   * Returns the incarnations of all nodes.
   *
   * @return the incarnations, in the order of their numbers
   */
  public List<NodeIncarnation> incarnations() {
    return List.copyOf(incarnations);
  }

  CallerRecord caller(RequestId request) {
    return callers.computeIfAbsent(request, id -> new CallerRecord(id));
  }

  HeldMemory addHeldMemory(UpstreamName upstream, RequestId request, long now) {
    HeldMemory held = new HeldMemory(upstream, request, now);
    heldMemory.add(held);
    return held;
  }

  void addWork(UpstreamName upstream, RequestId request, long now) {
    work.add(new Work(upstream, request, now));
  }

  void addExecution(Execution execution) {
    executions.add(execution);
  }

  void addAccepted(Accepted configuration) {
    accepted.add(configuration);
  }

  void addInForce(InForce configuration) {
    inForce.add(configuration);
  }

  void addOrder(OrderTaken order) {
    orders.add(order);
  }

  /**
   * Returns the observations of the callers.
   *
   * @return one record for each request, in the order of the requests
   */
  public List<CallerRecord> callers() {
    return List.copyOf(callers.values());
  }

  /**
   * Returns the memory that engines held.
   *
   * @return the records, in the order of allocation
   */
  public List<HeldMemory> heldMemory() {
    return List.copyOf(heldMemory);
  }

  /**
   * Returns the work that upstreams accepted.
   *
   * @return the records, in order
   */
  public List<Work> work() {
    return List.copyOf(work);
  }

  /**
   * Returns the calls that services executed.
   *
   * @return the records, in order
   */
  public List<Execution> executions() {
    return List.copyOf(executions);
  }

  /**
   * Returns the accepted configurations.
   *
   * @return the records, in order
   */
  public List<Accepted> accepted() {
    return List.copyOf(accepted);
  }

  /**
   * Returns the configurations that came into force at nodes.
   *
   * @return the records, in order
   */
  public List<InForce> inForce() {
    return List.copyOf(inForce);
  }

  /**
   * Returns the orders that engines executed.
   *
   * @return the records, in order
   */
  public List<OrderTaken> orders() {
    return List.copyOf(orders);
  }
}
