"""Caps on a customer's open attempts, over all gateways by a shared count."""

from rainturn import interface as it
from rainturn.component import Component, SharedState
from rainturn.counts import SlotDigits, slots_name
from rainturn.decisions.attempts import MAX_HOLD_SHARE, RECHECK_MS, Attempts
from rainturn.decisions.quota import CounterCalls
from rainturn.records import Customer, PendingRequest, SlotCall

WINDOW_MS = 15_000.0  # window of the counts: what a dead gateway held blocks no longer
MOST_DENIALS = 8  # a cap found used up is asked about more rarely, up to so many usual answer times


class Slots(Component):
    """Grants the slots of customers whose plan caps their open attempts."""

    def __init__(self, shared: SharedState, attempts: Attempts, calls: CounterCalls) -> None:
        super().__init__(shared)
        self.attempts, self.calls = attempts, calls
        self.digits = SlotDigits(self.settings)
        self.processes_overlap = False  # another process counts at our digit

    def start(self, now: float, request: PendingRequest) -> None:
        """First send of an admitted request, or a short wait for one of the customer's slots."""
        customer = request.customer
        if customer is None or not customer.plan.parallel:
            return self.attempts.send_first(now, request)
        turns = len(customer.slot_queue) / max(1, customer.open_attempts)
        wait_ms = turns * self.answer_times[request.class_index].mean
        if wait_ms > MAX_HOLD_SHARE * request.request_class.aim_ms:
            return self.attempts.refuse(now, request, wait_ms)  # it would be refused only later
        customer.slot_queue.append(request)
        self.attempts.hold(now, request)
        self.serve(now, customer)

    def serve(self, now: float, customer: Customer) -> None:
        """Send what waits and has a slot, then see to the count of the customer's open attempts.

        A cap holds over all gateways: an even split of it refuses where the traffic comes through one of them
        and is overrun where it comes through all.
        """
        if not customer.plan.parallel:
            return
        customer.slot_queue = [r for r in customer.slot_queue if r.id in self.attempts.open]
        if not self.calls.enabled:
            customer.slots = customer.fallback_slots
        while customer.slot_queue and customer.open_attempts < customer.slots:
            self.attempts.send_first(now, customer.slot_queue.pop(0))
        if self.calls.enabled and customer.slot_call is None:
            self._call(now, customer)

    def _call(self, now: float, customer: Customer) -> None:
        """Bring what the count holds of ours to what is out and the slots wanted: released, or claimed."""
        if now < customer.no_slot_calls_until:
            return
        window, may_claim = int(now // WINDOW_MS), now >= customer.no_claims_until
        if window != customer.slots_window:
            customer.slots_window, customer.slots_counted, customer.slots_uncertain = window, 0, False
            customer.slots = customer.open_attempts
        free = customer.plan.parallel - customer.open_attempts
        wanted = max(0, min(len(customer.slot_queue), free)) if may_claim else 0
        amount = customer.open_attempts + wanted - customer.slots_counted
        left_out = self.calls.left_out(now)
        if wanted and left_out:
            return self._use_fallback(now, customer)
        useful = amount != 0 or (customer.slots_uncertain and may_claim)
        if wanted or amount < 0 or (useful and not left_out):
            customer.slot_call = SlotCall(window, amount, wanted > 0)
            name = slots_name(customer.key, window)
            self.actions.append(it.Count(name, self.digits.encode(amount), 2 * WINDOW_MS))

    def answered(self, now: float, event: it.CountAnswered, customer: Customer) -> None:
        """Take the slots that others leave; what was claimed beyond these is given back at once.

        Each gateway sees what the count holds of it: a call whose answer was lost may have been added or not,
        as often one as the other. Where all count at one digit each goes by its own sum, and a lost call is
        taken for added: until the window is over that leaves a slot too few or too many.
        """
        call, customer.slot_call = customer.slot_call, None
        if call is None:
            return
        counted, in_window = customer.slots_counted + call.amount, call.window == customer.slots_window
        if event.outcome is not it.Outcome.OK:
            if in_window and event.outcome not in (it.Outcome.FULL, it.Outcome.UNREACHABLE):
                customer.slots_counted, customer.slots_uncertain = counted, not self.digits.shared
            # Guards against calls that a refusing counter answers at once being repeated at once.
            customer.no_slot_calls_until = now + RECHECK_MS * (1 + customer.denials)
            return self._use_fallback(now, customer)
        own, others = self.digits.decode(event.total)
        if self.processes_overlap or self.digits.shared:  # what is beyond our own sum is another's
            own, others = counted, others + max(0, own - counted)
        if in_window:
            customer.slots_counted, customer.slots_uncertain = own, False
        customer.slots = max(0, min(own, customer.plan.parallel - others))
        if call.claims:
            self._note_claim(now, customer, denied=customer.slots < own)
        self.serve(now, customer)

    def _use_fallback(self, now: float, customer: Customer) -> None:
        """Without a total an even share of the cap is this gateway's."""
        customer.slots = max(customer.fallback_slots, min(customer.slots, customer.open_attempts))
        self._note_claim(now, customer, denied=True)
        self.serve(now, customer)

    def _note_claim(self, now: float, customer: Customer, denied: bool) -> None:
        """After a denial the next claim waits, longer each time: who fills the cap is likely to go on."""
        customer.denials = min(MOST_DENIALS, customer.denials + 1) if denied else 0
        if denied:
            class_index = customer.slot_queue[0].class_index if customer.slot_queue else 0
            pause_ms = max(RECHECK_MS, self.answer_times[class_index].mean * customer.denials)
            customer.no_claims_until = max(customer.no_slot_calls_until, now + pause_ms)
            self.timers.after(now, customer.no_claims_until - now, self.serve, customer)
