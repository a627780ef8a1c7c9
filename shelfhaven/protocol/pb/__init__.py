"""Messages of the external-processing service: the published names and numbers of just what is used here.

Made from the .proto files beside them by `make protos`; what is not named there is passed over when it comes.
"""
