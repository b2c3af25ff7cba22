"""An emulator of load balancing, to compare policies of replica placement.

It runs the production load balancer (`quillring.forward`) on simulated edges, in front of replicas
that process prompts as batch engines do. A run takes seconds. `python -m proving.placement`
compares policies over seeds; `python -m proving.ablation` disables mechanisms one at a time.
"""
